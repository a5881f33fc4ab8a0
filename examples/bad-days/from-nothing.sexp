; A dispatcher starts with nothing under full load: 3,000 calls a second, 500 models, 300 idle workers.  For the lab.
(bad-day from-nothing
  (deployment "../outage.sexp")
  (seconds 40) (workers 300) (dispatchers 1)
  (load (rate 3000) (deferred 0) (zipf 1.1) (retries 2) (heed 0.8)))

; The largest size of the lab: 300 dispatchers, 1,000 workers, 5,000 models, 20,000 calls a second.  For the lab only.
(bad-day large
  (deployment "../large.sexp")
  (seconds 8) (workers 1000) (dispatchers 300)
  (load (rate 20000) (deferred 0) (zipf 0.6) (retries 1)))

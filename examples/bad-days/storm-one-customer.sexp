; One customer storms alone, heedlessly; the other must not feel it.
(bad-day storm-one-customer
  (deployment "../outage.sexp")
  (seconds 45) (workers 40) (dispatchers 4)
  (load (rate 700) (deferred 0) (zipf 0.9) (retries 3) (heed 0.8))
  (load (rate 1400) (at 15) (for 12) (namespace network-b) (deferred 0) (zipf 0.9) (retries 6) (heed 0)))

; A plain load on the example deployment; for the load tool against `make run`, too.
(bad-day steady
  (deployment "../nursery.sexp")
  (seconds 20) (workers 4) (dispatchers 1)
  (load (rate 60) (deferred 0.2) (heed 0.6) (half-heed 0.2)))

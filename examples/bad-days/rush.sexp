; A legitimate rush, twice the usual, that the fleet can serve: it must not be damped.
(bad-day rush
  (deployment "../outage.sexp")
  (seconds 45) (workers 40) (dispatchers 4)
  (load (rate 500) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5))
  (load (rate 500) (at 15) (for 20) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5)))

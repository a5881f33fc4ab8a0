; Half of the dispatchers restart in a storm.
(bad-day storm-restart
  (deployment "../outage.sexp")
  (seconds 45) (workers 40) (dispatchers 4)
  (load (rate 1000) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5))
  (trouble hang             (at 15) (for 4) (part 1))
  (trouble kill-dispatchers (at 19.5) (for 0.5) (part 0.5)))

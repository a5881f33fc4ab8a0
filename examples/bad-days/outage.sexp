; Half of the dispatchers restart while most models are released anew and the store is slow, under load.
(bad-day outage
  (deployment "../outage.sexp")
  (seconds 40) (workers 60) (dispatchers 4)
  (load (rate 700) (deferred 0) (zipf 0.9) (retries 4) (heed 0.8))
  (trouble models-voided    (at 10) (for 0) (part 1) (share 0.7))
  (trouble store-slow       (at 10) (for 3) (factor 3))
  (trouble kill-dispatchers (at 10.5) (for 0.5) (part 0.5)))

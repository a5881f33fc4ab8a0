; The store stops for three seconds as a storm lands on workers whose models were released anew.
(bad-day storm-store
  (deployment "../outage.sexp")
  (seconds 45) (workers 40) (dispatchers 4)
  (load (rate 1000) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5))
  (trouble hang          (at 15) (for 4) (part 1))
  (trouble models-voided (at 18.5) (for 0) (part 1) (share 0.7))
  (trouble store-stopped (at 18.5) (for 3)))

; A storm at 3,000 calls a second on real sockets that lands as seven models in ten are released anew, the store stops
; for a second and half of the dispatchers restart.
(bad-day storm-sockets-hard
  (deployment "../storm-sockets.sexp")
  (seconds 30) (workers 20) (dispatchers 4) (client-processes 4)
  (load (rate 3000) (deferred 0) (zipf 0.9) (retries 6) (heed 0.5) (half-heed 0.25))
  (trouble hang             (at 10) (for 3) (part 1))
  (trouble models-voided    (at 12.5) (for 0) (part 1) (share 0.7))
  (trouble store-stopped    (at 12.5) (for 1))
  (trouble kill-dispatchers (at 13.5) (for 0.3) (part 0.5)))

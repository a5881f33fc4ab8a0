; Dispatchers are killed outright again and again, also while they recover; most calls are deferred.
(bad-day kills
  (deployment "../nursery.sexp")
  (seconds 60) (workers 6) (dispatchers 3)
  (load (rate 70) (deferred 0.7) (zipf 0.8) (retries 1))
  (trouble hang             (at 3)  (for 4) (part 0.3))
  (trouble kill-dispatchers (at 5)  (for 0.5) (part 1))
  (trouble kill-dispatchers (at 6.6) (for 0.2) (part 1))   ; two in a row, while they recover
  (trouble kill-dispatchers (at 8.2) (for 0.2) (part 1))
  (trouble silent           (at 14) (for 3) (part 0.3))
  (trouble kill-dispatchers (at 16) (for 2) (part 0.4))
  (trouble kill-dispatchers (at 22) (for 0.3) (part 0.7))
  (trouble answers-lost     (at 26) (for 4) (part 0.5) (share 0.4))
  (trouble kill-dispatchers (at 28) (for 1) (part 0.7))
  (trouble models-voided    (at 34) (part 1) (share 0.8))
  (trouble kill-dispatchers (at 35) (for 0.3) (part 1))
  (trouble kill-dispatchers (at 42) (for 0.3) (part 0.4))
  (trouble kill-dispatchers (at 44) (for 0.3) (part 0.4))
  (trouble kill-dispatchers (at 50) (for 4) (part 0.7)))

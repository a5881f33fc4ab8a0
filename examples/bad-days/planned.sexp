; Edges that follow two planners, which are slow, killed, and started again with nothing; workers drain and crash.
(bad-day planned
  (deployment "../fleet.sexp")
  (seconds 40) (workers 8) (dispatchers 5) (planners 2)
  (load (rate 120) (deferred 0.2) (heed 0.8))
  (trouble models-voided  (at 8) (for 0) (part 1) (share 0.6))
  (trouble planners-slow  (at 10) (for 8) (part 1) (ms 4000))
  (trouble rolling-deploy (at 12) (for 4) (part 0.4))
  (trouble kill-planners  (at 20) (for 3) (part 0.5))
  (trouble crash          (at 22) (for 2) (part 0.2))
  (trouble planners-forget (at 26) (for 2) (part 1))
  (trouble kill-dispatchers (at 27) (for 0.5) (part 0.4)))

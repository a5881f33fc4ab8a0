; Recovery from an outage in which all workers hang, by heed: with and without damping.
(experiment sweep-heed
  (script "../bad-days/storm.sexp")
  (seeds 1 2 3)
  (variant undamped (set storm.damp no))
  (variant damped)
  (sweep load.heed 1 0.75 0.5 0.25 0))

; Recovery from an outage in which all workers hang, by fleet: with and without damping.
(experiment sweep-fleet
  (script "../bad-days/storm.sexp")
  (seeds 1 2 3)
  (variant undamped (set storm.damp no))
  (variant damped)
  (sweep script.workers 30 40 60 100))

; Recovery from an outage in which all workers hang, by length: with and without damping.
(experiment sweep-length
  (script "../bad-days/storm.sexp")
  (seeds 1 2 3)
  (variant undamped (set storm.damp no))
  (variant damped)
  (sweep trouble.last 2 4 6 10))

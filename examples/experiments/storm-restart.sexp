; Half of the dispatchers restart in a storm. With and without damping.
(experiment storm-restart
  (script "../bad-days/storm-restart.sexp")
  (seeds 1 2 3 4)
  (variant undamped (set storm.damp no))
  (variant damped))

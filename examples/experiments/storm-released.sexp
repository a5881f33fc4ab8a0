; A storm that lands while seven models in ten were released anew. With and without damping.
(experiment storm-released
  (script "../bad-days/storm-released.sexp")
  (seeds 1 2 3 4)
  (variant undamped (set storm.damp no))
  (variant damped))

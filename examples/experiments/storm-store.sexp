; The store stops for three seconds as a storm lands on workers whose models were released anew. With and without damping.
(experiment storm-store
  (script "../bad-days/storm-store.sexp")
  (seeds 1 2 3 4)
  (variant undamped (set storm.damp no))
  (variant damped))

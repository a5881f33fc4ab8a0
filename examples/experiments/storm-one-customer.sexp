; One customer storms alone, heedlessly; the other must not feel it. With and without damping.
(experiment storm-one-customer
  (script "../bad-days/storm-one-customer.sexp")
  (seeds 1 2 3 4)
  (variant undamped (set storm.damp no))
  (variant damped))

; A legitimate rush, twice the usual, that the fleet can serve: it must not be damped. With and without damping.
(experiment rush
  (script "../bad-days/rush.sexp")
  (seeds 1 2 3 4)
  (variant undamped (set storm.damp no))
  (variant damped))

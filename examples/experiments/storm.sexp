; All workers hang for six seconds; then everybody comes again: with and without damping, by how clients heed.
(experiment storm
  (script "../bad-days/storm.sexp")
  (seeds 1 2 3)
  (variant undamped (set storm.damp no))
  (variant damped)
  (sweep load.heed 1 0.5 0))

; Three hundred edges share the work: without a planner, with greedy plans, with plans by the program.
(experiment planners-300
  (script "../bad-days/season.sexp")
  (seeds 1)
  (variant none (set script.planners 0) (set script.seconds 60))
  (variant greedy (set script.seconds 60) (set script.solver greedy))
  (variant program (set script.seconds 60))
  (sweep script.dispatchers 300))

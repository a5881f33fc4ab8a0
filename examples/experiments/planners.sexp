; Copies ahead of calls: without a planner, with greedy plans, with plans by the program; by how many edges share the work.
(experiment planners
  (script "../bad-days/season.sexp")
  (seeds 1 2 3)
  (variant none (set script.planners 0))
  (variant greedy (set script.solver greedy))
  (variant program)
  (sweep script.dispatchers 30 100))

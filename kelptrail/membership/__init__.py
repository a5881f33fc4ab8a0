"""Who the workers are: the list as its source tells it, and the members it makes."""

"""Leadership, dispatch and recovery of jobs over a platform given as ports."""

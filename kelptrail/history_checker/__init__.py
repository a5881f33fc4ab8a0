"""The five rules judged from captured traffic, knowing nothing of how decisions were reached."""

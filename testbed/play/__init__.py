"""One play: processes, stage, faults and their timetable."""

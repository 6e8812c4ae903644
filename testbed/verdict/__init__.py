"""What a play is judged by: records, rules, reports."""

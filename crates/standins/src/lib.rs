//! Stand-ins for what a doorman talks to, played from public specifications, and checkers of their records.

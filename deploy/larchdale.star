# The product's own settings, beside the platform's configuration. Not named in the `run` line of balancer.toml: on
# that deployment everything here is off. Elsewhere: larchdale run --product deploy/larchdale.star
# `larchdale check FILE` prints what a script sets; docs/operators/ says what may be set.

# The list of endpoints from a key-value registry, in place of the command channel's.
# registry(
#     endpoints = ["10.0.0.1:2379", "10.0.0.2:2379", "10.0.0.3:2379"],
#     prefix = "/larchdale/depots/",
#     snapshot = "/var/lib/larchdale",
# )

# What all instances do as one; docs/operators/sites.md has every argument. Each needs `peers` in the configuration.

# The loss of a whole zone: where its load goes, who is refused first, how its return is paced.
# site_plan(lost_ms = 2500, headroom_percent = 85, steps = 5)

# Shards with homes, kept in a registry below a prefix of its own. Nothing moves without growth() and quiet().
# shards(
#     endpoints = ["10.0.0.1:2379", "10.0.0.2:2379", "10.0.0.3:2379"],
#     prefix = "/larchdale/fleet/",
#     moves = 8,
#     move_mb = 50000,
# )

# When they may move: each week by the wall clock of a zone, once, and never. Zones are those of failure-domains.
# quiet(zone = "edge-1", days = ["mon", "tue", "wed", "thu", "fri"], since = "22:30", until = "04:00", tz = "America/Vancouver")
# quiet(zone = "edge-1", starts = "2026-12-24T22:00:00-08:00", ends = "2026-12-26T04:00:00-08:00")
# blackout(starts = "2026-12-31T20:00:00-08:00", ends = "2027-01-01T04:00:00-08:00")

# What each shard newly wants is counted and forecast, and shards are split before they are full.
# growth(box_mb = 200000, split_percent = 25, level_percent = 95)

# Purges by a log in a registry, with bounded staleness; docs/operators/purges.md. Purge by: larchdale purge OBJECT...
# purge_log(
#     endpoints = ["10.0.0.1:2379", "10.0.0.2:2379", "10.0.0.3:2379"],
#     prefix = "/larchdale/purges/",
# )

# Log lines for people, or one JSON object a line.
log(form = "text")

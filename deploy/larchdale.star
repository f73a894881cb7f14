# The product's own settings, beside the platform's configuration. Not named in the `run` line of balancer.toml: on
# that deployment everything here is off. Elsewhere: larchdale run --product deploy/larchdale.star
# `larchdale check FILE` prints what a script sets; docs/operators/ says what may be set.

# The list of depots from a key-value registry, in place of the command channel's.
# registry(
#     endpoints = ["10.0.0.1:2379", "10.0.0.2:2379", "10.0.0.3:2379"],
#     prefix = "/larchdale/depots/",
#     snapshot = "/var/lib/larchdale",
# )

# Log lines for people, or one JSON object a line.
log(form = "text")

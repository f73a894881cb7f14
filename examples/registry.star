# The settings of `make example-registry`: a registry of three members on loopback.
registry(
    endpoints = ["127.0.0.1:%d" % port for port in range(9471, 9474)],
    prefix = "/larchdale/example/",
)

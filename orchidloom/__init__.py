"""orchidloom: the decisions of a gateway that holds customers to their quotas."""

from orchidloom.policy import Gateway

__all__ = ["Gateway"]

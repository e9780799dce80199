"""thymeflow: the decisions of a gateway that holds customers to their quotas."""

from thymeflow.policy import Gateway

__all__ = ["Gateway"]

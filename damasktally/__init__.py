"""Route live requests from callers to backend servers through a fleet of hosts."""

__version__ = "0.1.0"

__all__ = ["__version__"]

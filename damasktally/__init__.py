"""Steer live traffic from callers to backend servers over a fleet of entry hosts."""

__version__ = "0.1.0"

__all__ = ["__version__"]

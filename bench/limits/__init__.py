"""Measurements that compare fixed shares of client limits with a shared quota."""

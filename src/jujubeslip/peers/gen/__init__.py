__all__ = ['ttypes', 'constants', 'EntryPeer', 'ControlPeer']

"""What a front keeps over a loss of power, where it has a disk that lasts (``docs/recovery.md``): what is
believed of it, the files, and the thread that writes them. Off as shipped, and not imported then.
"""

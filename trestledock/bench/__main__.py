"""
Bench entry point
=================

Runs the bench as `python -m trestledock.bench`.
"""

from trestledock.bench import main

if __name__ == '__main__':
    main()

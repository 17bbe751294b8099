"""
Benchmark entry point
=====================

Runs the benchmark as `python -m trestledock.bench`.
"""

from trestledock.bench import main

if __name__ == '__main__':
    main()

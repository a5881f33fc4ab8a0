"""The gateway: owns each activation from acceptance to final answer, and carries out the dispatcher's decisions."""

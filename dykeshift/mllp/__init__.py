"""HL7 v2 over MLLP: framing, reading, acknowledgements, and the memory that makes resends harmless."""

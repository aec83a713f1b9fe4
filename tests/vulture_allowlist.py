"""Names that vulture reports as unused, each with the reason why it is needed."""

install_in_front  # the module that ``testbed.failing_calls`` writes calls it
_.convert  # click calls it on its parameter types
_.datagram_received  # asyncio calls the methods of a protocol
_.error_received
_.eof_received
_.pause_writing
_.resume_writing
_.handle_error  # aiohttp calls or reads these of its request handlers and responses
_._keepalive_handle
_.output_size
_.f_trace_lines  # the interpreter reads these of a frame
_.f_trace_opcodes
_._clock_resolution  # asyncio's event loop reads it
SSH_FX_PERMISSION_DENIED  # the SFTP draft's codes and flags are defined in full
SSH_FX_NO_CONNECTION
SSH_FX_CONNECTION_LOST
APPEND
EXCL
list_bytes  # columns of the capacity results, which are read by name
take_cpu
again_cpu
longest_turn
longest_turn_again

"""HTTP/1.1 protocol adapters: state machines that turn bytes into messages, without sockets or a clock."""

"""HTTP/1.1 on an asyncio event loop: caller and backend server connections."""

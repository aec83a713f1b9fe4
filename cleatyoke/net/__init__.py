"""The platform's front: its HTTP protocol towards clients, boxes and discovery."""

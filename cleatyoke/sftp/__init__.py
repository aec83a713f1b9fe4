"""The file front: serves SFTP packets over plain TCP, without SSH."""

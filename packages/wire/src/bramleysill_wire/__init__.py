"""Message codec between routers."""

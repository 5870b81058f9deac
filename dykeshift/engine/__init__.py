"""The balancer's network side: driver, upstream pool, discovery, HTTP frontend and HTTP carrier."""

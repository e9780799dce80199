"""Parsers for the platform's formats: the configuration file, the settings and the endpoint lists."""

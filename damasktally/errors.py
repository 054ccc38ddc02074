"""Define the root of every error this project raises on purpose."""


class DamasktallyError(Exception):
    """Tell what went wrong and what to do about it.

    :param message: what happened, in one sentence.
    :param remedy: what the reader can do, in one sentence.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy

"""A day of the rig as a picture: what each process said of the number at work, truth and faults beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from dykeshift.rig.day import Verdict


def draw(verdict: Verdict, path: str) -> None:
    """Write the picture; the ending of `path` says in which form."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    places = sorted({line["place"] for line in verdict.record if line["what"] == "view"})
    figure, axes = pyplot.subplots(
        len(places), 1, sharex=True, squeeze=False, figsize=(11, 1.1 * len(places) + 1)
    )
    truths = [line for line in verdict.record if line["what"] == "truth"]
    truth = [(line["at"], len(set(line["names"].values()))) for line in truths]
    for axis, place in zip(axes[:, 0], places, strict=True):
        _place(axis, [line for line in verdict.record if line["what"] == "view" and line["place"] == place])
        axis.step(*zip(*truth, strict=True), where="post", color="black", lw=0.8)
        axis.set_ylabel(f"p{place}", rotation=0, labelpad=14)
        axis.set_ylim(0, verdict.plan.balancers + 1.5)
        for line in verdict.record:
            if line["what"] == "fault":
                axis.axvline(line["at"], color="red", lw=0.6)
                if place == places[0]:
                    axis.text(line["at"], verdict.plan.balancers + 1.6, line["kind"], rotation=40, fontsize=7)
    axes[-1, 0].set_xlabel("seconds; band: at_least to at_most, green where settled; black: what runs")
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)


def _place(axis: Any, lines: list[dict[str, Any]]) -> None:
    at = [line["at"] for line in lines]
    low, high = [line["at_least"] for line in lines], [line["at_most"] for line in lines]
    axis.fill_between(at, low, high, step="post", color="tab:orange", alpha=0.4)
    axis.fill_between(
        at, low, high, step="post", color="tab:green", alpha=0.5, where=[line["settled"] for line in lines]
    )
    axis.step(at, low, where="post", color="tab:blue", lw=0.8)
    axis.step(at, high, where="post", color="tab:purple", lw=0.8)

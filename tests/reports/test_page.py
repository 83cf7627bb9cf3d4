"""Tests of `lavendertide.reports.page`."""

import re
import unittest
from unittest import mock

from lavendertide.reports import plots
from lavendertide.reports.page import render_page
from tests.reports.test_run import sample_run


class RenderPageTest(unittest.TestCase):
    """A run is rendered as one self-contained, reproducible page."""

    def test_the_page_names_variants_faults_and_the_bound(self) -> None:
        page = render_page(sample_run()).unwrap()
        for words in ("no hedge", "replica killed", "bound 120 ms", "Coverage over"):
            self.assertIn(words, page)

    def test_the_page_refers_to_no_other_file(self) -> None:
        page = render_page(sample_run()).unwrap()
        self.assertNotIn("<img", page)
        self.assertNotIn("<link", page)
        self.assertNotIn("<script", page)

    def test_the_same_run_gives_the_same_page(self) -> None:
        self.assertEqual(render_page(sample_run()), render_page(sample_run()))

    def test_no_axis_goes_above_full_coverage(self) -> None:
        svg = plots.to_svg(plots.draw_coverage(sample_run()))
        percentages = [float(text) for text in re.findall(r">([0-9.]+)%<", svg)]
        self.assertEqual(max(percentages), 100.0)

    def test_without_matplotlib_the_remedy_is_named(self) -> None:
        with mock.patch("importlib.util.find_spec", return_value=None):
            refusal = render_page(sample_run()).failure()
        self.assertIn("pip install", refusal.remedy)

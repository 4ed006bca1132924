package main

import "mulleinbeam/internal/lab"

// vltaviceClasses are the classes of the deployment as its pages describe them. Times are in microseconds.
var vltaviceClasses = []lab.Class{
	{Name: "record-extract", Effect: "keyed", Target: 4e6, GiveUp: 28e6, KeyTTL: 15e6},
	{Name: "fee-charge", Effect: "unsafe", Target: 3e6, GiveUp: 28e6, KeyTTL: 0},
	{Name: "station-reading", Effect: "safe", Target: 8e5, GiveUp: 6e6, KeyTTL: 0},
}

// alone is the class that may be taken on without a copy, as in the example of the settings.
var alone = []string{"station-reading"}

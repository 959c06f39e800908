package virtual

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"pewterrudder/internal/lab/scenario"
)

func TestHunt(t *testing.T) {
	names := strings.Fields(os.Getenv("LAB"))
	if len(names) == 0 {
		t.Skip()
	}
	if names[0] == "all" {
		names = nil
		for _, n := range scenario.List() {
			if n != "fleet-10k" {
				names = append(names, n)
			}
		}
	}
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	to, _ := strconv.Atoi(os.Getenv("TO"))
	shown := map[string]int{}
	for _, name := range names {
		sc := load(t, name, strings.Fields(os.Getenv("SET"))...)
		var took, good, peak float64
		broken := map[string]int{}
		var lost, ref, fail, wish, served, tk uint64
		for seed := from; seed <= to; seed++ {
			opt := Options{Seed: uint64(seed)}
			if os.Getenv("LOG") != "" {
				f, _ := os.Create(os.Getenv("LOG"))
				defer f.Close()
				opt.Log = f
			}
			rec, err := Run(sc, opt)
			if err != nil {
				t.Fatal(err)
			}
			took += rec.Speedup
			good += rec.Counts.Goodput()
			peak = max(peak, rec.Counts.Peak)
			ref += rec.Counts.Refused
			fail += rec.Counts.Failed
			lost += rec.Counts.Crashed
			wish += rec.Counts.Wishes
			served += rec.Counts.Served
			tk += rec.Counts.Took
			for _, b := range rec.Breaks {
				key := b.Rule.String()
				broken[key]++
				if shown[key] < 2 && os.Getenv("SHOW") != "" {
					shown[key]++
					fmt.Println(rec.Name(), b)
				}
			}
		}
		n := float64(to - from + 1)
		fmt.Printf("%-20s goodput %.3f speedup %5.0f peak %6.2f wishes %7d served %7d taken %7d refused %6d failed %6d crashed %4d breaks %v\n", name, good/n, took/n, peak, wish, served, tk, ref, fail, lost, broken)
	}
}

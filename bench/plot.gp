# Plots every run of a policy bench by workload and policy.
#
#   policy_bench --direct --csv runs.csv
#   gnuplot -e "runs='runs.csv'; picture='runs.svg'" bench/plot.gp

if (!exists("runs")) runs = 'runs.csv'
if (!exists("picture")) picture = 'runs.svg'

policies = "naive shares previous project oracle"
workloads = "load60 load80 load100 load130 burst shift shift_overload flood"
workloads = workloads . " crash reclaim stall slow late_load lying_load"
workloads = workloads . " node_lost home_lost home_paused kv_outage"
figures = "preempt_per_1000 stall_p99_ms interval_p99_ms in_time_pct"
figures = figures . " goodput_tokens_per_s check_first_p99_ms"

position(name) = sum [i = 1:words(workloads)] \
	(word(workloads, i) eq name ? i : 0)

set datafile separator ','
set datafile missing NaN
set terminal svg size 1200,1800
set output picture
set multiplot layout words(figures),1
set xrange [0.5:words(workloads) + 0.9]
set xtics rotate by -20 noenhanced
set for [i = 1:words(workloads)] xtics add (word(workloads, i) i)
set key outside
set grid ytics

do for [f = 1:words(figures)] {
	figure = word(figures, f)
	set title figure noenhanced
	plot for [p = 1:words(policies)] runs \
		using (strcol(2) eq word(policies, p) ? \
			position(strcol(1)) + 0.14 * p - 0.1 : NaN):(column(figure)) \
		with points pointtype p pointsize 0.8 title word(policies, p)
}
unset multiplot

# Plots the latencies of a benchmark run:
#   gnuplot -e "folder='CSV_FOLDER'; name='lotka'; output_file='latency.svg'" Meta/plot.gnuplot
set terminal svg size 900,480 font "sans,11"
set output output_file
set datafile separator ","
set logscale y
set xlabel "offset in the trace [s]"
set ylabel "first token [ms]"
set key outside top
set title name.": first token of each online call"
plot folder."/".name."-arrival-order.csv" using ($1/1000):3 every ::1 with points pt 7 ps 0.3 title "batch, arrival order", \
     folder."/".name."-online-first.csv" using ($1/1000):3 every ::1 with points pt 7 ps 0.3 title "batch, online first", \
     folder."/".name."-online.csv" using ($1/1000):3 every ::1 with points pt 7 ps 0.3 title "online only"

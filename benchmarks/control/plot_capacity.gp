# Draws docs/capacity.svg from the table of bench-capacity: gnuplot -e "table='FILE.tsv'" plot_capacity.gp
set terminal svg size 900,600 background 'white'
set output 'docs/capacity.svg'
set multiplot layout 2,2 title 'Control traffic between instances, bytes a second'
set datafile separator '\t'
set key top left
set yrange [0:*]
do for [name in 'workers running_tasks executors commits_per_s'] {
    set xlabel name noenhanced
    plot table using (strcol(1) eq name && strcol(2) eq 'domain_leader' ? $3 : 1/0):6 with points pt 7 title 'domain leader', \
         table using (strcol(1) eq name && strcol(2) eq 'domain_follower' ? $3 : 1/0):6 with points pt 6 title 'domain follower'
}
unset multiplot
